// Package settings reads a node's settings: JSON with comments, validated completely
// before anything starts. Each error names file, line, field and fix.
package settings

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Node holds the settings of one node.
type Node struct {
	// Name is unique in the deployment and stays the same when the VM is replaced.
	Name string `json:"name"`
	// Zone is the availability zone of the VM, spelled as in the platform's list.
	Zone string `json:"zone"`
	// Region groups availability zones; optional.
	Region string `json:"region"`
	// Listen holds the addresses that the node listens on.
	Listen Listen `json:"listen"`
	// Platform holds the address of the platform.
	Platform Platform `json:"platform"`
	// Drain holds the timing of a planned stop.
	Drain Drain `json:"drain"`
	// Leases holds the timing of ownership and tasks; omit it to use the defaults.
	Leases Leases `json:"leases"`
	// Log holds the level and format of the log.
	Log Log `json:"log"`
	// BootstrapOperatorSHA256 is the SHA-256, in hex, of a token that is accepted as
	// an operator's while the configuration has no operators.
	BootstrapOperatorSHA256 string `json:"bootstrap_operator_sha256"`
}

// Listen holds ip:port addresses; port 0 selects any free port.
type Listen struct {
	// Callers receives requests from the platform's load balancer.
	Callers string `json:"callers"`
	// Admin serves the administration API.
	Admin string `json:"admin"`
	// Peers serves the other nodes, which connect to the address exactly as given
	// here.
	Peers string `json:"peers"`
	// Operations serves metrics, health, readiness and the state dump.
	Operations string `json:"operations"`
}

// Platform holds the address of the platform.
type Platform struct {
	// Address is the ip:port of the platform's interface.
	Address string `json:"address"`
}

// Drain holds the timing of a planned stop.
type Drain struct {
	// NoticeMS is how long the load balancer may take to detect that the node is not
	// ready, in milliseconds; the node keeps serving meanwhile. Default 3,000.
	NoticeMS int64 `json:"notice_ms"`
	// LimitMS limits the subsequent wait for requests in flight, in milliseconds.
	// Default 60,000.
	LimitMS int64 `json:"limit_ms"`
}

// Leases holds the timing of ownership and tasks, in milliseconds. Zero selects the
// default.
type Leases struct {
	// SessionMS is how long the store keeps a node's session without a renewal; after
	// that, the shards of a dead node are taken over. Default 5,000.
	SessionMS int64 `json:"session_ms"`
	// TaskMS is how long a task runs without a renewal. Default 30,000.
	TaskMS int64 `json:"task_ms"`
}

// Log holds the level and format of the log.
type Log struct {
	// Level is debug, info (default), warning or error.
	Level string `json:"level"`
	// Format is text (default) or json.
	Format string `json:"format"`
}

// Defaults of the leases, in milliseconds.
const (
	DefaultSessionMS = 5_000
	DefaultTaskMS    = 30_000
)

// Other defaults and lower limits of fields.
const (
	defaultNoticeMS = 3_000
	defaultLimitMS  = 60_000
	minSessionMS    = 2_000
	minTaskMS       = 4_000
)

// Load reads and validates the file. Its error lists every fault found.
func Load(path string) (Node, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Node{}, fmt.Errorf("settings: %w; give the file's path with --settings", err)
	}
	return Parse(path, raw)
}

// Parse decodes and validates raw; name is the file name used in errors.
func Parse(name string, raw []byte) (Node, error) {
	var n Node
	d, err := Read(name, raw, &n)
	if err != nil {
		return n, err
	}
	n.setDefaults()
	n.validate(d)
	return n, d.Err()
}

func (n *Node) setDefaults() {
	setDefault(&n.Drain.NoticeMS, defaultNoticeMS)
	setDefault(&n.Drain.LimitMS, defaultLimitMS)
	setDefault(&n.Leases.SessionMS, DefaultSessionMS)
	setDefault(&n.Leases.TaskMS, DefaultTaskMS)
	if n.Log.Level == "" {
		n.Log.Level = "info"
	}
	if n.Log.Format == "" {
		n.Log.Format = "text"
	}
}

func setDefault(field *int64, value int64) {
	if *field == 0 {
		*field = value
	}
}

func (n *Node) validate(d *Document) {
	if !model.ValidName(n.Name) {
		d.Fault("name", "use 1 to 80 letters, digits, '-', '_' or '.'")
	}
	if !model.ValidName(n.Zone) {
		d.Fault("zone", "give the availability zone as the platform's list spells it")
	}
	for field, address := range map[string]string{
		"listen.callers": n.Listen.Callers, "listen.admin": n.Listen.Admin, "listen.peers": n.Listen.Peers,
		"listen.operations": n.Listen.Operations, "platform.address": n.Platform.Address,
	} {
		checkAddress(d, field, address)
	}
	if n.Drain.NoticeMS < 0 || n.Drain.LimitMS < 0 {
		d.Fault("drain", "give milliseconds of 0 or more")
	}
	if n.Leases.SessionMS < minSessionMS {
		d.Fault("leases.session_ms", fmt.Sprintf("give at least %d", minSessionMS))
	}
	if n.Leases.TaskMS < minTaskMS {
		d.Fault("leases.task_ms", fmt.Sprintf("give at least %d", minTaskMS))
	}
	if _, err := logrus.ParseLevel(n.Log.Level); err != nil {
		d.Fault("log.level", "use debug, info, warning or error")
	}
	if n.Log.Format != "text" && n.Log.Format != "json" {
		d.Fault("log.format", "use text or json")
	}
}

// checkAddress requires an IP address and a port: a host name would need a resolver,
// which may be unavailable during an outage.
func checkAddress(d *Document, field, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(strings.Trim(host, "[]")) == nil {
		d.Fault(field, "give ip:port with an IP number, such as 10.0.0.5:7000")
	}
}

// Notice returns NoticeMS as a duration.
func (d Drain) Notice() time.Duration { return time.Duration(d.NoticeMS) * time.Millisecond }

// Limit returns LimitMS as a duration.
func (d Drain) Limit() time.Duration { return time.Duration(d.LimitMS) * time.Millisecond }
