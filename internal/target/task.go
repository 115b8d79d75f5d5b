package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Task starts or renews an attempt of a job and returns its status.
// announcement is the token of the announcement on which a start relies. An
// error matches ErrNotRun when the target refused to start the task.
func (c *Client) Task(ctx context.Context, address, announcement, job string, attempt uint32, t TaskRequest) (*TaskStatus, error) {
	return c.task(ctx, http.MethodPut, address, announcement, job, attempt, t)
}

// StopTask asks the target to write a checkpoint of an attempt and stop it.
func (c *Client) StopTask(ctx context.Context, address, job string, attempt uint32) (*TaskStatus, error) {
	return c.task(ctx, http.MethodDelete, address, "", job, attempt, TaskRequest{})
}

func (c *Client) task(ctx context.Context, method, address, announcement, job string, attempt uint32, t TaskRequest) (*TaskStatus, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("marshal task %s: %w", job, err)
	}
	url := fmt.Sprintf("%s/v1/tasks/%s/%d", address, job, attempt)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("build request for task %s at %s: %w", job, address, err)
	}
	request.Header.Set(HeaderAnnouncement, announcement)
	response, err := c.transport(address, false).RoundTrip(request)
	if err != nil {
		c.closeIdleTo(address)
		return nil, fmt.Errorf("send request for task %s to %s: %w", job, address, err)
	}
	defer response.Body.Close()
	if reason := response.Header.Get(HeaderNotRun); reason != "" {
		return nil, &BusyError{VM: address, Reason: reason}
	}
	return readStatus(job, address, response)
}

func readStatus(job, address string, response *http.Response) (*TaskStatus, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read status of task %s at %s: %w", job, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("task %s at %s: status %d: %.200s", job, address, response.StatusCode, body)
	}
	status := new(TaskStatus)
	if err := json.Unmarshal(body, status); err != nil {
		return nil, fmt.Errorf("decode status of task %s at %s: %w", job, address, err)
	}
	return status, nil
}
