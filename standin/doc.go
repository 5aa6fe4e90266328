// Package standin groups the emulators of the systems that gypsumford works
// with: the platform, targets and callers.
package standin
