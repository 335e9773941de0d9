package soak_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

// startDeployment starts instances and engines, and ends them with the spec. All
// instances are ready.
func startDeployment(instances, engines int) *deployment.Deployment {
	GinkgoHelper()
	d, err := deployment.Start(deployment.Options{
		Instances: instances, Engines: engines, EngineParameters: world.FastEngine, LogDirectory: GinkgoT().TempDir(), OnError: func(error) {},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go d.Run(ctx)
	Expect(d.WaitReady(ctx)).To(Succeed())
	return d
}
