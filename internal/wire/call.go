package wire

import (
	"context"
	"fmt"
	"net"
	"time"

	"sapphirering/internal/wire/wirepb"
)

const (
	// maxCallBytes bounds one request or response, with the body of a forwarded
	// request or answer in it.
	maxCallBytes = 16 << 20
	// requestTimeout bounds how long a peer may take to send its request.
	requestTimeout = 10 * time.Second
)

// CallError is an error that the called daemon returned.
type CallError struct {
	Code          wirepb.ErrorCode
	Message       string
	Peer          string
	LeaderAddress string
	// MemberAddresses holds the addresses of the members that the peer knows, if it is not the leader.
	MemberAddresses []string
}

// Error names the peer and the reason.
func (e *CallError) Error() string {
	return fmt.Sprintf("call to %s: %s: %s", e.Peer, e.Code, e.Message)
}

// Call sends one request on a new stream and reads the response. sent is true
// when the request may have reached the peer.
func (d *Dialer) Call(ctx context.Context, address string, hello *wirepb.Hello, request *wirepb.CallRequest) (response *wirepb.CallResponse, sent bool, err error) {
	hello.Kind = wirepb.StreamKind_STREAM_KIND_CALL
	stream, err := d.Open(ctx, address, hello)
	if err != nil {
		return nil, false, err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := WriteFrame(stream, request); err != nil {
		return nil, true, fmt.Errorf("send request to %s: %w", address, err)
	}
	response = new(wirepb.CallResponse)
	if err := ReadFrame(stream, response, maxCallBytes); err != nil {
		return nil, true, fmt.Errorf("read response from %s: %w", address, err)
	}
	if response.ErrorCode != wirepb.ErrorCode_ERROR_CODE_NONE {
		return nil, true, &CallError{
			Code: response.ErrorCode, Message: response.ErrorMessage, Peer: address,
			LeaderAddress: response.LeaderAddress, MemberAddresses: response.MemberAddresses,
		}
	}
	return response, true, nil
}

// ServeCall reads the request of a call stream and writes the handler's response.
func ServeCall(stream net.Conn, handle func(context.Context, *wirepb.CallRequest) *wirepb.CallResponse) {
	request := new(wirepb.CallRequest)
	if stream.SetReadDeadline(time.Now().Add(requestTimeout)) != nil {
		return
	}
	if err := ReadFrame(stream, request, maxCallBytes); err != nil {
		reportProtocolError("call", stream, err)
		return
	}
	if stream.SetReadDeadline(time.Time{}) != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// The caller sends nothing more, so the read returns when the stream ends.
		var b [1]byte
		stream.Read(b[:])
		cancel()
	}()
	response := handle(ctx, request)
	if stream.SetWriteDeadline(time.Now().Add(streamTimeout)) != nil {
		return
	}
	WriteFrame(stream, response)
}
