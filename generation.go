package jujubegate

// Generation numbers configuration changes from 1; 0 is the empty configuration.
type Generation int64

// Epoch numbers membership views from 1.
type Epoch int64

// Snapshot numbers index snapshots of a service; a larger one is newer.
type Snapshot int64
