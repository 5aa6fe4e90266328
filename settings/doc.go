// Package settings reads the static settings of a program from flags and
// environment variables.
//
// Each setting is a flag and an environment variable: the flag -peer-address
// has the variable GYPSUM_PEER_ADDRESS. A flag goes before its variable and
// the variable before the default; an empty variable counts as unset.
//
// The package builds on the standard flag package, with one difference: a wrong
// value doesn't end the parsing. All wrong values are collected with their
// place, the flag or the variable, and reported together.
//
// Settings are read once when the program starts. What operators change while
// it runs is the inventory, not a setting.
//
//	set := settings.New("gypsumd", os.Getenv)
//	peer := set.HostPort("peer-address", "", "address for other nodes", settings.Required)
//	lease := set.Duration("target-lease", 5*time.Second, "life of a target's announcement",
//		settings.Between(time.Second, time.Minute))
//	if err := set.Parse(os.Args[1:]); err != nil {
//		os.Exit(set.Report(err, os.Stdout, os.Stderr))
//	}
package settings
