// Package deps keeps the modules that the workspace has chosen in go.mod until
// the packages that use them have landed.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/ThreeDotsLabs/watermill"
	_ "github.com/ThreeDotsLabs/watermill/message"
	_ "github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/cockroachdb/errors"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/go-logr/logr"
	_ "github.com/google/uuid"
	_ "github.com/gypsumford/gypsumford/call"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/twitchtv/twirp"
	_ "go.yaml.in/yaml/v3"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
