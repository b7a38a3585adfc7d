package relay

import (
	"bufio"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/cockroachdb/errors"
)

// On a narrow link the messages of a stream are compressed, each with the preceding ones as
// its dictionary. Job IDs and the numbers in calls repeat, so that a message shrinks to less than
// half. Compression costs either side about 30 us of processor time per message and 1 MB of
// memory per stream. On a wide link it is not used because the processor is the bottleneck.

const (
	// maxNarrowLinkMbps is the highest link bandwidth, in megabits per second, at which a
	// leader requests compressed streams.
	maxNarrowLinkMbps = 5
	// compressionLevel is the lowest level at which short messages are matched against
	// preceding ones.
	compressionLevel = 2
	// contentCoding identifies the compression in the Accept-Encoding and Content-Encoding
	// headers of the HTTP upgrade. A relay that does not support it does not confirm it, and
	// the stream stays uncompressed.
	contentCoding = "deflate"
)

// isNarrowLink reports whether streams on a link are to be compressed; 0 is an unknown bandwidth.
func isNarrowLink(linkMbps float64) bool { return linkMbps > 0 && linkMbps <= maxNarrowLinkMbps }

// messageWriter encodes the messages of one side of a stream.
type messageWriter struct {
	buffered *bufio.Writer
	// compressor is nil if messages are not compressed.
	compressor *flate.Writer
	encoder    *gob.Encoder
}

func newMessageWriter(to io.Writer, compress bool) (*messageWriter, error) {
	w := &messageWriter{buffered: bufio.NewWriterSize(to, bufferBytes)}
	if !compress {
		w.encoder = gob.NewEncoder(w.buffered)
		return w, nil
	}
	var err error
	if w.compressor, err = flate.NewWriter(w.buffered, compressionLevel); err != nil {
		return nil, errors.Wrap(err, "create the compressor of a stream")
	}
	w.encoder = gob.NewEncoder(w.compressor)
	return w, nil
}

// write encodes a message and flushes it, so that the peer can decode it at once.
func (w *messageWriter) write(message any) error {
	if err := w.encoder.Encode(message); err != nil {
		return err
	}
	if w.compressor != nil {
		if err := w.compressor.Flush(); err != nil {
			return err
		}
	}
	return w.buffered.Flush()
}

func newMessageDecoder(from io.Reader, compressed bool) *gob.Decoder {
	if compressed {
		from = flate.NewReader(from)
	}
	return gob.NewDecoder(from)
}
