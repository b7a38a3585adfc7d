package relay

import (
	"bufio"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/cockroachdb/errors"
)

// On a narrow link the messages of a stream are compressed, each with those before it as
// its dictionary: the names of jobs and the figures of calls repeat, so that a message takes
// less than half. That costs either side some 30 us of processor time a message, and 1 MB a
// stream; where the link is wide the processor is what is short.

const (
	// narrowMbps is up to which bandwidth of its link, in megabits a second, a leader has
	// its streams compressed.
	narrowMbps = 5
	// packLevel is the least at which short messages are matched with those before them.
	packLevel = 2
	// packing names the compression in the HTTP upgrade, in Accept-Encoding and in
	// Content-Encoding. A relay that does not know it does not confirm it, and the stream
	// goes on without.
	packing = "deflate"
)

// narrow reports whether streams are to be compressed on a link; 0 is an unknown width.
func narrow(linkMbps float64) bool { return linkMbps > 0 && linkMbps <= narrowMbps }

// coder writes the messages of one side of a stream.
type coder struct {
	buffered *bufio.Writer
	// packed is nil where messages are not compressed.
	packed  *flate.Writer
	encoder *gob.Encoder
}

func newCoder(to io.Writer, pack bool) (*coder, error) {
	c := &coder{buffered: bufio.NewWriterSize(to, bufferBytes)}
	if !pack {
		c.encoder = gob.NewEncoder(c.buffered)
		return c, nil
	}
	var err error
	if c.packed, err = flate.NewWriter(c.buffered, packLevel); err != nil {
		return nil, errors.Wrap(err, "compression of a stream")
	}
	c.encoder = gob.NewEncoder(c.packed)
	return c, nil
}

// write writes a message whole.
func (c *coder) write(message any) error {
	if err := c.encoder.Encode(message); err != nil {
		return err
	}
	if c.packed != nil {
		if err := c.packed.Flush(); err != nil {
			return err
		}
	}
	return c.buffered.Flush()
}

func newDecoder(from io.Reader, packed bool) *gob.Decoder {
	if packed {
		from = flate.NewReader(from)
	}
	return gob.NewDecoder(from)
}
