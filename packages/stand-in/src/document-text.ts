/** A small environment document with one cell of four backend servers, for tests. */
export const DOCUMENT_TEXT = `
name: test
generation: 1
cells:
  - name: praha
    region: cechy
    failureDomain: praha
    racks:
      - { name: praha-rack-1, servers: 4, slotsPerServer: 8, acceleratorsPerServer: 8 }
kinds:
  - { name: shift-swap, idempotent: false, urgent: true, checkpointable: false, minimumShare: 0.2, shape: { slots: 1 }, declaredMilliseconds: 300 }
  - { name: term-rota, idempotent: true, urgent: false, checkpointable: true, minimumShare: 0.3, shape: { slots: 1, accelerators: 16, adjacency: rack }, declaredMilliseconds: 60000 }
  - { name: availability-check, idempotent: true, urgent: false, checkpointable: false, minimumShare: 0.1, shape: { slots: 1 }, declaredMilliseconds: 1000 }
workspaces:
  - { name: ustredi, guarantees: [] }
  - { name: pobocky, guarantees: [] }
times:
  reclaimMilliseconds: 5000
  retentionMilliseconds: 3600000
  taskLeaseMilliseconds: 30000
`
