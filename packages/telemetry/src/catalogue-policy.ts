/** Events 9xx: policy. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 9xx: policy. */
export const POLICY_EVENTS = {
  'request-preempted': {
    number: 907,
    level: 'info',
    sentence: 'The policy has decided to preempt a running request in favour of another.',
    fields: { rule: 'policy rule behind the decision' },
    action: NO_ACTION
  }
} as const satisfies CatalogueRows
