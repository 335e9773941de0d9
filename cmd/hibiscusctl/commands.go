package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// pollInterval is how often apply and wait retry or query the status.
const pollInterval = 100 * time.Millisecond

func clientFromFlags(cmd *cli.Command) *client {
	return newClient(cmd.StringSlice("server"), cmd.String("token"))
}

func singleArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.NArg() != 1 {
		return "", usageError{fmt.Sprintf("%s needs one argument: %s", cmd.Name, name)}
	}
	return cmd.Args().First(), nil
}

func readTicket(cmd *cli.Command) (body []byte, number uint64, err error) {
	path, err := singleArgument(cmd, "FILE")
	if err != nil {
		return nil, 0, err
	}
	if path == "-" {
		body, err = io.ReadAll(os.Stdin)
	} else {
		body, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, 0, usageError{err.Error()}
	}
	var ticket struct {
		Number uint64 `json:"number"`
	}
	if err := json.Unmarshal(body, &ticket); err != nil {
		return nil, 0, usageError{fmt.Sprintf("%s: %v", path, err)}
	}
	return body, ticket.Number, nil
}

func applyTicket(ctx context.Context, cmd *cli.Command) error {
	body, number, err := readTicket(cmd)
	if err != nil {
		return err
	}
	c := clientFromFlags(cmd)
	wait := cmd.Duration("wait")
	deadline := time.Now().Add(wait)
	response, err := c.submitUntil(ctx, number, body, deadline)
	if err != nil {
		return err
	}
	if wait > 0 {
		response, err = c.waitAccepted(ctx, number, time.Until(deadline))
		if err != nil {
			return err
		}
	}
	return printResponse(cmd, response)
}

// submitUntil submits the ticket. Until the deadline it retries while no instance can
// accept it, for example because all of them have just started.
func (c *client) submitUntil(ctx context.Context, number uint64, body []byte, deadline time.Time) (json.RawMessage, error) {
	for {
		response, err := c.call(ctx, http.MethodPut, ticketPath(number), body)
		if err == nil || !shouldTryNextServer(err) || !time.Now().Add(pollInterval).Before(deadline) {
			return response, err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return nil, err
		}
	}
}

func validateTicket(ctx context.Context, cmd *cli.Command) error {
	body, _, err := readTicket(cmd)
	if err != nil {
		return err
	}
	response, err := clientFromFlags(cmd).call(ctx, http.MethodPost, "/v1/tickets/validate", body)
	if err != nil {
		return err
	}
	return printResponse(cmd, response)
}

func diffTickets(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 2 {
		return usageError{"diff needs two arguments: FROM TO"}
	}
	query := url.Values{"from": {cmd.Args().Get(0)}, "to": {cmd.Args().Get(1)}}
	response, err := clientFromFlags(cmd).call(ctx, http.MethodGet, "/v1/diff?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	return printResponse(cmd, response)
}

func waitForTicket(ctx context.Context, cmd *cli.Command) error {
	text, err := singleArgument(cmd, "NUMBER")
	if err != nil {
		return err
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return usageError{fmt.Sprintf("%q is not a ticket number", text)}
	}
	response, err := clientFromFlags(cmd).waitAccepted(ctx, number, cmd.Duration("timeout"))
	if err != nil {
		return err
	}
	return printResponse(cmd, response)
}

// waitAccepted polls the status until the ticket is accepted. Until the timeout
// it ignores errors of single polls, since instances may start and stop meanwhile.
func (c *client) waitAccepted(ctx context.Context, number uint64, timeout time.Duration) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		response, err := c.call(ctx, http.MethodGet, "/v1/status", nil)
		if err == nil && acceptedTicket(response) >= number {
			return response, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: ticket %d after %s; see hibiscusctl status for the instances that block it", errNotAccepted, number, timeout)
		}
	}
}

// acceptedTicket returns the highest accepted ticket of a status response, or 0.
func acceptedTicket(status json.RawMessage) uint64 {
	var body struct {
		Accepted uint64 `json:"accepted"`
	}
	if err := json.Unmarshal(status, &body); err != nil {
		return 0
	}
	return body.Accepted
}

func expelInstance(ctx context.Context, cmd *cli.Command) error {
	id, err := singleArgument(cmd, "INSTANCE")
	if err != nil {
		return err
	}
	response, err := clientFromFlags(cmd).call(ctx, http.MethodPost, "/v1/instances/"+url.PathEscape(id)+"/expel", nil)
	if err != nil {
		return err
	}
	return printResponse(cmd, response)
}

// printGET returns the action of a command that prints the response to a GET request
// for the path.
func printGET(path string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		response, err := clientFromFlags(cmd).call(ctx, http.MethodGet, path, nil)
		if err != nil {
			return err
		}
		return printResponse(cmd, response)
	}
}

// printGETWithArgument returns the action of a command that prints the response to a
// GET request for the path followed by the command's argument.
func printGETWithArgument(path string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		id, err := singleArgument(cmd, cmd.ArgsUsage)
		if err != nil {
			return err
		}
		return printGET(path+url.PathEscape(id))(ctx, cmd)
	}
}

func listReasons(_ context.Context, cmd *cli.Command) error {
	type line struct {
		Reason reason.Reason `json:"reason"`
		Status int           `json:"status"`
		Help   string        `json:"help"`
	}
	var lines []line
	for _, r := range reason.All() {
		lines = append(lines, line{r, r.HTTPStatus(), r.Help()})
	}
	body, err := json.Marshal(lines)
	if err != nil {
		return err
	}
	return printResponse(cmd, body)
}

func ticketPath(number uint64) string {
	return "/v1/tickets/" + strconv.FormatUint(number, 10)
}
