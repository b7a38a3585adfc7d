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
	// maxNarrowLinkMbps is up to which bandwidth of its link, in megabits a second, a leader has
	// its streams compressed.
	maxNarrowLinkMbps = 5
	// compressionLevel is the least at which short messages are matched with those before them.
	compressionLevel = 2
	// contentCoding names the compression in the HTTP upgrade, in Accept-Encoding and in
	// Content-Encoding. A relay that does not know it does not confirm it, and the stream
	// goes on without.
	contentCoding = "deflate"
)

// isNarrowLink reports whether streams are to be compressed on a link; 0 is an unknown width.
func isNarrowLink(linkMbps float64) bool { return linkMbps > 0 && linkMbps <= maxNarrowLinkMbps }

// messageWriter writes the messages of one side of a stream.
type messageWriter struct {
	buffered *bufio.Writer
	// compressor is nil where messages are not compressed.
	compressor *flate.Writer
	encoder    *gob.Encoder
}

func newMessageWriter(to io.Writer, pack bool) (*messageWriter, error) {
	c := &messageWriter{buffered: bufio.NewWriterSize(to, bufferBytes)}
	if !pack {
		c.encoder = gob.NewEncoder(c.buffered)
		return c, nil
	}
	var err error
	if c.compressor, err = flate.NewWriter(c.buffered, compressionLevel); err != nil {
		return nil, errors.Wrap(err, "compression of a stream")
	}
	c.encoder = gob.NewEncoder(c.compressor)
	return c, nil
}

// write writes a message whole.
func (c *messageWriter) write(message any) error {
	if err := c.encoder.Encode(message); err != nil {
		return err
	}
	if c.compressor != nil {
		if err := c.compressor.Flush(); err != nil {
			return err
		}
	}
	return c.buffered.Flush()
}

func newMessageDecoder(from io.Reader, packed bool) *gob.Decoder {
	if packed {
		from = flate.NewReader(from)
	}
	return gob.NewDecoder(from)
}
