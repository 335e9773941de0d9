package fleet

// Mutations maps a name to each mutation of the core. The property tests have to
// detect each of them.
var Mutations = map[string]func(*CoreOptions){
	"mergeWithoutIncarnation": func(o *CoreOptions) { o.mergeWithoutIncarnation = true },
	"confirmByAnyPeer":        func(o *CoreOptions) { o.confirmByAnyPeer = true },
	"confirmAtReceipt":        func(o *CoreOptions) { o.confirmAtReceipt = true },
}

// Newer exports the merge rule to the tests.
var Newer = newer
