package bench

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"time"

	"github.com/cockroachdb/errors"
)

// timelineTimeout bounds the time to read the timeline.
const timelineTimeout = 15 * time.Second

// writeTimeline reads the run's timeline from the nodes and writes it as an HTML
// page to the file that the options name. In plain mode there is none.
func (f *fleet) writeTimeline(ctx context.Context) error {
	if f.options.Timeline == "" || f.options.Plain {
		return nil
	}
	page, err := os.Create(f.options.Timeline)
	if err != nil {
		return err
	}
	defer page.Close()
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	var stderr bytes.Buffer
	command := exec.CommandContext(ctx, f.options.Gypsumctl, "timeline",
		"-node", f.instances[0].peerAddress, "-o", "html", "-timeout", timelineTimeout.String())
	command.Stdout = page
	command.Stderr = &stderr
	return errors.Wrapf(command.Run(), "timeline: %s", stderr.String())
}
