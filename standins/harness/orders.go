package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// OrderResponse is the response to an order or a query about it. Without a complete
// response Run is reason.RunUnknown; without any, Status is 0.
type OrderResponse struct {
	Status int
	State  string           `json:"state"`
	Run    reason.RunStatus `json:"run"`
	Reason reason.Reason    `json:"reason"`
}

// OrderBody returns a request body by which the order can be found in the service's
// bookings.
func OrderBody(name string) string { return fmt.Sprintf(`{"order":%q}`, name) }

// Order sends an order to one instance.
func (c *Caller) Order(ctx context.Context, address, key, body string) OrderResponse {
	return c.sendOrderRequest(ctx, http.MethodPost, address, "/v1/orders", key, body)
}

// OrderState queries the outcome of an order at one instance.
func (c *Caller) OrderState(ctx context.Context, address, key string) OrderResponse {
	return c.sendOrderRequest(ctx, http.MethodGet, address, "/v1/orders/"+key, "", "")
}

// Lookup sends a lookup to one instance and returns the status and the body.
func (c *Caller) Lookup(ctx context.Context, address, id string) (int, string, error) {
	status, text, err := c.send(ctx, http.MethodGet, address, "/v1/lookups/"+id, "", "")
	return status, string(text), err
}

func (c *Caller) sendOrderRequest(ctx context.Context, method, address, path, key, body string) OrderResponse {
	status, text, err := c.send(ctx, method, address, path, key, body)
	if err != nil {
		return OrderResponse{Run: reason.RunUnknown}
	}
	response := OrderResponse{Status: status}
	if status == http.StatusOK || status == http.StatusCreated {
		if json.Unmarshal(text, &response) != nil {
			response.Run = reason.RunUnknown
		}
		return response
	}
	var refusal httpapi.ErrorBody
	response.Run = reason.RunUnknown
	if json.Unmarshal(text, &refusal) == nil {
		response.Run, response.Reason = refusal.Error.Run, refusal.Error.Reason
	}
	return response
}

func (c *Caller) send(ctx context.Context, method, address, path, key, body string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, err
	}
	request.GetBody = nil // keeps the transport from retrying the request
	request.Header.Set("Authorization", "Bearer "+c.Token)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}
