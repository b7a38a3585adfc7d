package command

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/eventlog"
)

// A SIGHUP, sent because the settings file changed, must not kill a process that is in
// a planned stop and cut off its callers. It did when the planned stop ended the
// handling of SIGHUP, because the signal kills by default. A failure kills the test
// process itself.
func TestHangUpDuringAPlannedStopKillsNobody(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	hangups := notifySIGHUP()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		recheckSettings(ctx, hangups, "no-such-file", eventlog.New(io.Discard, logrus.ErrorLevel))
	}()
	cancel()
	<-ended
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
}
