/** Events 13xx: how an entry VM comes to its answers while the store or the owner is away. */
import type { CatalogueRows } from './catalogue-entry.js'

/** Events 13xx: how an entry VM comes to its answers while the store or the owner is away. */
export const ANSWER_EVENTS = {
  'write-prolonged': {
    number: 1301,
    level: 'info',
    sentence: 'The write of a hand-in or a cancellation was not settled by its first attempt, or was refused.',
    fields: { job: 'id of the job', table: 'jobs for a hand-in, cancels for a cancellation', attempts: 'attempts of this VM; 0 if it knew that the store is away', relays: 'calls to another VM that could carry it out', end: 'settled, or the code with which the caller was answered', milliseconds: 'time that it took' },
    action: 'Find out why the store does not answer this VM (event feed-failed).'
  },
  'configuration-confirmed': {
    number: 1302,
    level: 'info',
    sentence: 'Another VM has confirmed the configuration of this one, which the store has not confirmed lately.',
    fields: { version: 'its version', address: 'inner address of that VM', age: 'milliseconds since the store confirmed it to the first VM that passed it on', earlier: 'the same as known before' },
    action: 'If it recurs for one VM, check that the VM can reach the store.'
  }
} as const satisfies CatalogueRows
