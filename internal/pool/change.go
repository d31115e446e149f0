package pool

import (
	"context"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// useCoordinator makes a coordinator the one that this host uses. If the host used another
// one before, it sends the slots that it holds to this one and tells the other one that it
// has left.
func (c *Client) useCoordinator(live links.LiveHost) (changed bool) {
	former, changed := c.change(live.Host.ID)
	if changed {
		event.CoordinatorChanged.Log(c.logger, zap.String("home", string(live.Host.ID)), zap.String("before", string(former)))
		c.reconcile(live)
		c.leave(former)
	}
	return changed
}

// reconcileRegularly sends the slots that this host holds to a coordinator. A host without
// requests changes to another coordinator here.
func (c *Client) reconcileRegularly(live links.LiveHost) {
	if !c.useCoordinator(live) {
		c.reconcile(live)
	}
}

func (c *Client) reconcile(live links.LiveHost) {
	if live.Conn == nil {
		c.coordinator.Reconcile(c.newReconcileMessage())
		return
	}
	live.Conn.NotifyAsync(methodReconcile, c.newReconcileMessage())
}

// useFallback makes the local fallback the coordinator that this host uses, and addresses m
// to it.
func (c *Client) useFallback(m *slotRequestMessage) {
	former, changed := c.change(localGrants)
	switch {
	case changed:
		c.fallback.StartLocal(c.newReconcileMessage(), c.load)
		c.leave(former)
	case c.localUpdateDue():
		c.fallback.UpdateLocal(c.newReconcileMessage())
	}
	c.address(m)
}

// localUpdateDue reports whether to tell the local fallback again what this host has used.
func (c *Client) localUpdateDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Sub(c.use.localAt) >= reconcileInterval
}

func (c *Client) change(to tables.HostID) (former tables.HostID, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use.change(to)
}

func (c *Client) address(m *slotRequestMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.coordinatorUse = c.use.address(c.clock.Now())
}

func (c *Client) load(id tables.CustomerID) quota.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use.load(c.clock.Now(), id)
}

// leave tells a former coordinator that this host has left it. Until that confirms it, the
// present coordinator grants only a part of this host's share of quotas.
func (c *Client) leave(former tables.HostID) {
	if former == localGrants {
		return
	}
	c.mu.Lock()
	m := leaveMessage{Host: c.self.ID, Epoch: c.use.epoch}
	c.mu.Unlock()
	if former == c.self.ID {
		c.coordinator.Leave(m)
		c.left(former, m.Epoch)
		return
	}
	if conn := c.links.Conn(former); conn != nil {
		go c.callLeave(former, m, func(ctx context.Context) error { return conn.Call(ctx, methodLeave, m, nil) })
	}
}

func (c *Client) callLeave(former tables.HostID, m leaveMessage, call func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), quota.ContactTimeout)
	defer cancel()
	if call(ctx) == nil {
		c.left(former, m.Epoch)
	}
}

func (c *Client) left(former tables.HostID, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use.left(former, epoch)
}
