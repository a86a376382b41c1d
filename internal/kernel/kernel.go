// Package kernel manages the services of a process: services register under a
// name, look each other up by name, and are started and stopped in order. It
// also provides a bounded queue and a background worker for services.
//
// Use it to assemble a process from services. Code that only needs another
// package's functions should import that package instead.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Service is a component of a process with its own lifecycle.
type Service interface {
	// Provision looks up the services that this one needs and reads its
	// settings. It must not start goroutines.
	Provision(k *Kernel) error
	// Validate returns an error if the service cannot run as configured.
	Validate() error
	// Start starts the service and returns without waiting for it to end.
	Start(ctx context.Context) error
	// Stop stops the service. It returns an error if ctx ends first.
	Stop(ctx context.Context) error
}

// Base provides lifecycle methods that do nothing, to be embedded by services
// that need only some of them.
type Base struct{}

// Provision does nothing.
func (Base) Provision(*Kernel) error { return nil }

// Validate returns nil.
func (Base) Validate() error { return nil }

// Start does nothing.
func (Base) Start(context.Context) error { return nil }

// Stop does nothing.
func (Base) Stop(context.Context) error { return nil }

// Kernel manages the services of one process.
type Kernel struct {
	mu       sync.Mutex
	order    []string
	services map[string]Service
	started  []string
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: make(map[string]Service)}
}

// Register adds a service. Services start in the order of registration.
func (k *Kernel) Register(name string, s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return fmt.Errorf("service %q is registered twice; give each service its own name", name)
	}
	k.services[name] = s
	k.order = append(k.order, name)
	return nil
}

// Lookup returns the service with the given name as type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, fmt.Errorf("service %q is not registered; register it before Start", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("service %q is a %T and not the requested %T", name, s, zero)
	}
	return t, nil
}

// Start provisions, validates and starts all services. If one fails to start,
// those already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.order {
		if err := k.services[name].Provision(k); err != nil {
			return fmt.Errorf("provision service %q: %w", name, err)
		}
	}
	for _, name := range k.order {
		if err := k.services[name].Validate(); err != nil {
			return fmt.Errorf("validate service %q: %w", name, err)
		}
	}
	for _, name := range k.order {
		if err := k.services[name].Start(ctx); err != nil {
			return errors.Join(fmt.Errorf("start service %q: %w", name, err), k.Stop(ctx))
		}
		k.started = append(k.started, name)
	}
	return nil
}

// Stop stops the started services in reverse order and joins their errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	for i := len(k.started) - 1; i >= 0; i-- {
		name := k.started[i]
		if err := k.services[name].Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop service %q: %w", name, err))
		}
	}
	k.started = nil
	return errors.Join(errs...)
}
