// Package standin groups the stand-ins of the systems that gypsumford serves:
// the platform, targets and callers.
package standin
