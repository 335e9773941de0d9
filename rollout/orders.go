package rollout

import (
	"context"
	"errors"
	"slices"
	"time"
)

// writeStatus writes a status. A write without a response may have been executed, or may
// be later if the revision still holds; the orders that are read show it.
func (r *Runner) writeStatus(ctx context.Context, a WriteStatus) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	order, err := r.o.Store.WriteStatus(ctx, a.Service, a.Revision, a.Status)
	result := "written"
	var event Event = StatusWritten{Order: order, UnixMS: time.Now().UnixMilli()}
	switch {
	case errors.Is(err, ErrConflict):
		result, event = "conflict", StatusConflict{Order: order, Based: a.Revision, UnixMS: time.Now().UnixMilli()}
	case err != nil:
		result, event = "failed", StatusFailed{Service: a.Service}
	}
	r.o.Scope.Tagged(map[string]string{"result": result}).Counter("status_writes").Inc(1)
	r.o.Log.Info("rollout status write", "service", a.Service, "result", result, "state", a.Status.State, "phase", a.Status.Phase,
		"revision", a.Revision, "error", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(r.o.Clock(), event)
}

// followOrders reads the orders while this instance coordinates services.
func (r *Runner) followOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.asked:
		}
		for ctx.Err() == nil && r.coordinates() {
			if err := r.readOrders(ctx); err != nil && ctx.Err() == nil {
				r.o.Scope.Counter("order_read_errors").Inc(1)
				r.o.Log.Info("rollouts not read", "error", err)
				if errors.Is(err, ErrRestored) {
					r.setRestored()
					continue
				}
				select {
				case <-ctx.Done():
				case <-time.After(readRetryInterval):
				}
			}
		}
		r.forgetOrders()
	}
}

func (r *Runner) coordinates() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.core.Coordinating(r.o.Clock())) > 0
}

func (r *Runner) setRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restored = true
}

// forgetOrders records that the orders are no longer read.
func (r *Runner) forgetOrders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = nil
	clear(r.given)
}

// readOrders lists the orders and watches them while this instance coordinates services.
func (r *Runner) readOrders(ctx context.Context) error {
	orders, revision, err := r.o.Store.ListRollouts(ctx)
	if err != nil {
		return err
	}
	r.replaceOrders(orders)
	for r.coordinates() {
		orders, next, err := r.o.Store.WatchRollouts(ctx, revision, watchWait)
		if err != nil {
			return err
		}
		revision = next
		r.mu.Lock()
		r.applyOrders(orders)
		r.mu.Unlock()
	}
	return nil
}

// replaceOrders applies a complete list of the orders.
func (r *Runner) replaceOrders(orders []Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range r.orders {
		if !slices.ContainsFunc(orders, func(o Order) bool { return o.Service == service }) {
			orders = append(orders, Order{Service: service})
		}
	}
	if r.orders == nil {
		r.orders = make(map[string]Order)
		for _, service := range r.core.Ordered() {
			if !slices.ContainsFunc(orders, func(o Order) bool { return o.Service == service }) {
				orders = append(orders, Order{Service: service})
			}
		}
	}
	r.applyOrders(orders)
	r.restored = false
}

// applyOrders applies changed orders; one without a version was removed. The core gets
// those of the services that it coordinates. mu has to be locked.
func (r *Runner) applyOrders(orders []Order) {
	now := r.o.Clock()
	coordinated := r.core.Coordinating(now)
	for _, order := range orders {
		delete(r.given, order.Service)
		if order.To == "" {
			delete(r.orders, order.Service)
			r.step(now, OrderRemoved{Service: order.Service})
			continue
		}
		r.orders[order.Service] = order
		if slices.Contains(coordinated, order.Service) {
			r.giveOrder(now, order.Service)
		}
	}
}
