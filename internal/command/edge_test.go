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

// Symptom: a process under a planned stop dies at once and cuts its callers off.
// Sequence: SIGTERM, then SIGHUP since the settings file has changed.
// Cause: the planned stop ended the handling of SIGHUP, whose default is to kill.
// The test's own process is the one that would die.
func TestHangUpDuringAPlannedStopKillsNobody(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	hup := notifySIGHUP()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		recheckSettings(ctx, hup, "no-such-file", eventlog.New(io.Discard, logrus.ErrorLevel))
	}()
	cancel()
	<-ended
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
}
