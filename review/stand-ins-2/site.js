// The small deployment of the cases: figures of sft-renew.
export const KEY = 'd4a3hwrr6x73d3zji9n7'
export const POOL = 'huvo11a'
export const PREFIX = '/pule252/'
export const ZONES = ['tas-hobart', 'tas-launceston', 'tas-burnie']
export const WORKERS_PER_ZONE = 11
export const CAPACITY = { cpu: 128_000, mem_mb: 262_144, gpu: 8 }
export const TOTAL_PROCESSOR = CAPACITY.cpu * ZONES.length * WORKERS_PER_ZONE

export const configuration = {
  version: 7,
  routes: [{ name: 'r-3ajwyy7', host: 'nony24.example', prefix: PREFIX, type: 'unsafe', timeout_ms: 3000, target_latency_ms: 3000, priority: 2, backend: POOL, attempts: 3, stretch: 3.0, public: false }],
  services: [{ name: POOL, health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, enforces_capacity: true, standby: false }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
  tenants: [{ name: 'kaje80', api_keys: [KEY], priority: 1, guaranteed: { gpu: 48 } }]
}
