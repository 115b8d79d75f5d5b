package target

import (
	"io"
	"net/textproto"
	"time"
)

// progress ends an exchange that moves no byte for ProgressTimeout. Bytes of
// the request, informational responses and bytes of the answer are progress.
type progress struct{ timer *time.Timer }

func newProgress(expired func()) *progress {
	return &progress{timer: time.AfterFunc(ProgressTimeout, expired)}
}

func (p *progress) moved() { p.timer.Reset(ProgressTimeout) }

func (p *progress) stop() { p.timer.Stop() }

func (p *progress) got1xx(int, textproto.MIMEHeader) error {
	p.moved()
	return nil
}

func (p *progress) reader(r io.Reader) io.Reader { return &progressReader{r: r, progress: p} }

type progressReader struct {
	r        io.Reader
	progress *progress
}

// Read counts what it reads as progress.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.progress.moved()
	}
	return n, err
}
