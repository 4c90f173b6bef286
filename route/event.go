package route

// Event is a change that other entries must learn: Fell or Warmed. It is nil if there is none.
type Event interface{ event() }

// Fell means that this entry has seen an instance of the target that is not known to be warm. The owner must be told.
type Fell struct {
	Target   string
	Instance string
}

// Warmed means that this entry, the owner, has seen the instance through its cold start. It must be announced.
type Warmed struct {
	Target   string
	Instance string
}

func (Fell) event()   {}
func (Warmed) event() {}
