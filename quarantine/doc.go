// Package quarantine identifies requests that crash the targets which run them.
package quarantine
