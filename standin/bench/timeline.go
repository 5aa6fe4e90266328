package bench

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"time"

	"github.com/cockroachdb/errors"
)

// timeLineTimeout bounds the reading of the time line.
const timeLineTimeout = 15 * time.Second

// writeTimeLine asks the nodes for the time line of the run and writes it as a
// page, if one is wanted.
func (f *fleet) writeTimeLine(ctx context.Context) error {
	if f.options.TimeLine == "" || f.options.Plain {
		return nil
	}
	page, err := os.Create(f.options.TimeLine)
	if err != nil {
		return err
	}
	defer page.Close()
	ctx, cancel := context.WithTimeout(ctx, timeLineTimeout)
	defer cancel()
	var complaint bytes.Buffer
	command := exec.CommandContext(ctx, f.options.Gypsumctl, "timeline",
		"-node", f.instances[0].peerAddress, "-o", "html", "-timeout", timeLineTimeout.String())
	command.Stdout = page
	command.Stderr = &complaint
	return errors.Wrapf(command.Run(), "time line: %s", complaint.String())
}
