package edge

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/configcheck"
)

// Guards against a check that decides what is in force, and against findings of an older version
// beside a newer one.
func TestFindingsOfInstalledConfigurationsAreKept(t *testing.T) {
	c := newTestConfiguration()
	checked := 0
	c.check = func(value []byte) (*configcheck.Report, error) {
		checked++
		switch string(value) {
		case "3":
			return configcheck.NewReport([]configcheck.Finding{{Severity: configcheck.Error, Problem: "p"}, {Severity: configcheck.Warning, Problem: "q"}}), nil
		case "4":
			return nil, errors.New("not checked")
		}
		return configcheck.NewReport(nil), nil
	}
	c.install(versionItem(3), "store")
	errorCount, warnings := c.countFindings()
	require.Equal(t, []int{1, 1}, []int{errorCount, warnings})
	c.install(versionItem(2), "peer")
	c.install(versionItem(3), "peer")
	require.Equal(t, 1, checked)
	c.install(versionItem(4), "store")
	require.EqualValues(t, 4, c.inForce.Load().Version)
	errorCount, warnings = c.countFindings()
	require.Equal(t, []int{0, 0}, []int{errorCount, warnings})
	c.install(versionItem(5), "store")
	errorCount, warnings = c.countFindings()
	require.Equal(t, []int{0, 0}, []int{errorCount, warnings})
}

// Guards against findings of a version that were made too late and hide those of the newer one.
func TestFindingsOfAnOvertakenVersionAreDropped(t *testing.T) {
	c := newTestConfiguration()
	c.check = func(value []byte) (*configcheck.Report, error) {
		if string(value) == "3" {
			c.install(versionItem(4), "peer")
			return configcheck.NewReport([]configcheck.Finding{{Severity: configcheck.Error, Problem: "p"}}), nil
		}
		return configcheck.NewReport(nil), nil
	}
	c.install(versionItem(3), "store")
	require.EqualValues(t, 4, c.inForce.Load().Version)
	errorCount, _ := c.countFindings()
	require.Zero(t, errorCount)
}
