// Package settings reads the static settings of a program from flags and
// environment variables.
//
// Each setting is a flag and an environment variable: the flag -peer-address
// has the variable GYPSUM_PEER_ADDRESS. A flag takes precedence over its variable
// and the variable over the default; an empty variable counts as unset.
//
// The package uses the standard flag package, with one difference: parsing
// continues after an invalid value. All invalid values are reported together, each
// with the flag or the variable that it came from.
//
// Settings are read once when the program starts. The configuration that
// operators change while it runs is in package inventory.
//
//	set := settings.New("gypsumd", os.Getenv)
//	peer := set.HostPort("peer-address", "", "address for other nodes", settings.Required)
//	lease := set.Duration("target-lease", 5*time.Second, "life of a target's announcement",
//		settings.Between(time.Second, time.Minute))
//	if err := set.Parse(os.Args[1:]); err != nil {
//		os.Exit(set.Report(err, os.Stdout, os.Stderr))
//	}
package settings
