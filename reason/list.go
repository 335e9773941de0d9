package reason

import (
	"net/http"
	"sort"
)

// The list of reasons, grouped by the area that uses them most.
const (
	// Requests and access.
	BadRequest      Reason = "bad_request"
	Unauthenticated Reason = "unauthenticated"
	TooLarge        Reason = "too_large"
	NotFound        Reason = "not_found"
	Overloaded      Reason = "overloaded"
	NotReady        Reason = "not_ready"
	StaleTable      Reason = "stale_configuration"
	ShuttingDown    Reason = "shutting_down"
	Internal        Reason = "internal"
	Fenced          Reason = "fenced"

	// Generations.
	DeadlineExceeded  Reason = "deadline_exceeded"
	CallerGone        Reason = "caller_gone"
	SlowCaller        Reason = "slow_caller"
	Superseded        Reason = "superseded"
	EngineClosed      Reason = "engine_closed"
	EngineSilent      Reason = "engine_silent"
	EngineRefused     Reason = "engine_refused"
	ConnectFailed     Reason = "connect_failed"
	ChunkForeign      Reason = "chunk_foreign"
	ChunkLate         Reason = "chunk_late"
	ChunkRepeated     Reason = "chunk_repeated"
	ChunkSkipped      Reason = "chunk_skipped"
	ChunkMalformed    Reason = "chunk_malformed"
	AttemptSuspect    Reason = "attempt_suspect"
	AttemptsExhausted Reason = "attempts_exhausted"
	PrefixMismatch    Reason = "prefix_mismatch"
	PrefixLost        Reason = "prefix_lost"
	EventIDInvalid    Reason = "event_id_invalid"
	CrashSuspect      Reason = "crash_suspect"
	HedgeLost         Reason = "hedge_lost"

	// Placement and limits.
	NoEndpoint          Reason = "no_endpoint"
	ModelUnknown        Reason = "model_unknown"
	EndpointLeaving     Reason = "endpoint_leaving"
	AccountRate         Reason = "account_rate"
	AccountTokens       Reason = "account_tokens"
	NoSlot              Reason = "no_slot"
	EndpointRate        Reason = "endpoint_rate"
	EndpointBusy        Reason = "endpoint_busy"
	RetryBudget         Reason = "retry_budget"
	CrossRegionBudget   Reason = "cross_region_budget"
	RecoveryPaced       Reason = "recovery_paced"
	EndpointUnreachable Reason = "endpoint_unreachable"

	// Orders.
	KeyRequired      Reason = "key_required"
	KeyReused        Reason = "key_reused"
	StoreUnavailable Reason = "store_unavailable"
	StoreConflict    Reason = "store_conflict"
	StoreRateLimited Reason = "store_rate_limited"
	OrderInProgress  Reason = "order_in_progress"
	OrderUnknown     Reason = "order_unknown"
	OrderRejected    Reason = "order_rejected"
	DispatchWindow   Reason = "dispatch_window"

	// Tickets, fleet and engine control.
	TicketInvalid     Reason = "ticket_invalid"
	TicketSuperseded  Reason = "ticket_superseded"
	TicketConflict    Reason = "ticket_conflict"
	TicketPending     Reason = "ticket_pending"
	PeerUnreachable   Reason = "peer_unreachable"
	PeerStale         Reason = "peer_stale"
	LeaseNotHeld      Reason = "lease_not_held"
	FenceTooOld       Reason = "fence_too_old"
	WeightLoadPaced   Reason = "weight_load_paced"
	LastCopy          Reason = "last_copy"
	PeerUnauthorized  Reason = "peer_unauthorized"
	InstanceDuplicate Reason = "instance_duplicate"
)

// detail is the HTTP status and the description of a reason.
type detail struct {
	status int
	help   string
}

// details holds the HTTP status and the description of each reason.
var details = map[Reason]detail{
	BadRequest:      {http.StatusBadRequest, "the request is malformed; the field says where"},
	Unauthenticated: {http.StatusUnauthorized, "the credential is missing or unknown"},
	TooLarge:        {http.StatusRequestEntityTooLarge, "a header, body or response exceeds its limit"},
	NotFound:        {http.StatusNotFound, "the requested object does not exist"},
	Overloaded:      {http.StatusServiceUnavailable, "a bounded queue is full or load is shed"},
	NotReady:        {http.StatusServiceUnavailable, "the instance has no configuration yet"},
	StaleTable:      {http.StatusServiceUnavailable, "the configuration does not allow the request, but a newer one may be in force"},
	ShuttingDown:    {http.StatusServiceUnavailable, "the instance is draining"},
	Internal:        {http.StatusInternalServerError, "an error without a more precise reason"},
	Fenced:          {http.StatusServiceUnavailable, "the instance reaches neither the store nor a peer and starts no new requests"},

	DeadlineExceeded:  {http.StatusGatewayTimeout, "the caller's deadline passed"},
	CallerGone:        {499, "the caller closed its connection"}, // not standardised; nginx uses it too
	SlowCaller:        {http.StatusRequestTimeout, "the caller did not read its stream"},
	Superseded:        {http.StatusConflict, "a newer connection of the same request took over"},
	EngineClosed:      {http.StatusBadGateway, "the engine's connection closed during the output"},
	EngineSilent:      {http.StatusBadGateway, "the engine sent nothing within the timeout"},
	EngineRefused:     {http.StatusServiceUnavailable, "the engine refused the request before it started"},
	ConnectFailed:     {http.StatusBadGateway, "no connection to the endpoint"},
	ChunkForeign:      {http.StatusBadGateway, "a chunk of another request or attempt"},
	ChunkLate:         {http.StatusBadGateway, "a chunk of an attempt that has ended"},
	ChunkRepeated:     {http.StatusBadGateway, "a chunk at a position that was already delivered"},
	ChunkSkipped:      {http.StatusBadGateway, "a chunk beyond the next position"},
	ChunkMalformed:    {http.StatusBadGateway, "a chunk that cannot be parsed"},
	AttemptSuspect:    {http.StatusBadGateway, "an attempt was ended because its engine is suspect"},
	AttemptsExhausted: {http.StatusBadGateway, "no attempt could complete the response"},
	PrefixMismatch:    {http.StatusConflict, "the prefix does not match the event id's hash"},
	PrefixLost:        {http.StatusConflict, "the delivered prefix is no longer available"},
	EventIDInvalid:    {http.StatusBadRequest, "the Last-Event-ID does not belong to this request"},
	CrashSuspect:      {http.StatusUnprocessableEntity, "the content was running on several engines when they crashed"},
	HedgeLost:         {http.StatusBadGateway, "another attempt delivered the next token first"},

	NoEndpoint:          {http.StatusServiceUnavailable, "no endpoint is available for the model and account"},
	ModelUnknown:        {http.StatusNotFound, "no configured endpoint serves the model"},
	EndpointLeaving:     {http.StatusServiceUnavailable, "the endpoint is draining and takes no new requests"},
	AccountRate:         {http.StatusTooManyRequests, "the account's request rate is used up"},
	AccountTokens:       {http.StatusTooManyRequests, "the account's tokens in flight are used up"},
	NoSlot:              {http.StatusTooManyRequests, "no slot became free in time"},
	EndpointBusy:        {http.StatusServiceUnavailable, "the endpoints have rejected requests and asked for a pause"},
	EndpointRate:        {http.StatusServiceUnavailable, "the endpoints limit the requests of all instances, and the limit is used up"},
	RetryBudget:         {http.StatusServiceUnavailable, "the retry budget is used up"},
	CrossRegionBudget:   {http.StatusServiceUnavailable, "the budget of the billed link between regions is used up"},
	RecoveryPaced:       {http.StatusServiceUnavailable, "a continuation was delayed to spread the load of the recovery"},
	EndpointUnreachable: {http.StatusBadGateway, "the endpoint cannot be reached"},

	KeyRequired:      {http.StatusBadRequest, "an order needs an Idempotency-Key"},
	KeyReused:        {http.StatusUnprocessableEntity, "the Idempotency-Key was used with another body"},
	StoreUnavailable: {http.StatusServiceUnavailable, "the store does not answer"},
	StoreConflict:    {http.StatusConflict, "a conditional update failed because another one came first"},
	StoreRateLimited: {http.StatusServiceUnavailable, "the store's request rate is used up"},
	OrderInProgress:  {http.StatusConflict, "the order is being dispatched"},
	OrderUnknown:     {http.StatusBadGateway, "the order may have run; it is not sent again"},
	OrderRejected:    {http.StatusUnprocessableEntity, "the service refused the order"},
	DispatchWindow:   {http.StatusServiceUnavailable, "the dispatch window passed before the order was sent"},

	TicketInvalid:     {http.StatusUnprocessableEntity, "the ticket failed validation; its findings say why"},
	TicketSuperseded:  {http.StatusConflict, "a ticket with this or a higher number exists"},
	TicketConflict:    {http.StatusConflict, "the number is used by a ticket with another body"},
	TicketPending:     {http.StatusConflict, "an earlier ticket is not accepted yet"},
	PeerUnreachable:   {http.StatusBadGateway, "a peer instance does not answer"},
	PeerStale:         {http.StatusConflict, "a message of an earlier incarnation"},
	LeaseNotHeld:      {http.StatusConflict, "the lease is not held or has too little time left"},
	FenceTooOld:       {http.StatusConflict, "the endpoint refused an outdated fencing token"},
	WeightLoadPaced:   {http.StatusServiceUnavailable, "a weight load waits for the rate limit of the weight store"},
	LastCopy:          {http.StatusConflict, "the command would remove the last copy of a version in service"},
	PeerUnauthorized:  {http.StatusUnauthorized, "a peer message without a valid signature"},
	InstanceDuplicate: {http.StatusConflict, "two instances use one instance id"},
}

// All returns the whole list in alphabetical order.
func All() []Reason {
	all := make([]Reason, 0, len(details))
	for r := range details {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
