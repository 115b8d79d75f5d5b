package target

import (
	"io"
	"net/textproto"
	"time"
)

// progressTimer ends an exchange in which no byte is transferred for
// ProgressTimeout. Bytes of the request, informational responses and bytes of
// the answer are progress.
type progressTimer struct{ timer *time.Timer }

func newProgressTimer(onTimeout func()) *progressTimer {
	return &progressTimer{timer: time.AfterFunc(ProgressTimeout, onTimeout)}
}

func (p *progressTimer) reset() { p.timer.Reset(ProgressTimeout) }

func (p *progressTimer) stop() { p.timer.Stop() }

func (p *progressTimer) got1xx(int, textproto.MIMEHeader) error {
	p.reset()
	return nil
}

func (p *progressTimer) reader(r io.Reader) io.Reader { return &progressReader{r: r, progress: p} }

type progressReader struct {
	r        io.Reader
	progress *progressTimer
}

// Read reads and resets the timer if any byte was read.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.progress.reset()
	}
	return n, err
}
