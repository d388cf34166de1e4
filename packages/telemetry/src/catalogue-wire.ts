/** Events 7xx: the inner protocol between VMs. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 7xx: the inner protocol between VMs. */
export const WIRE_EVENTS = {
  'connection-opened': {
    number: 700,
    level: 'info',
    sentence: 'A connection to or from a peer was opened and authenticated.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the peer' },
    action: NO_ACTION
  },
  'connection-closed': {
    number: 701,
    level: 'info',
    sentence: 'A connection to or from a peer was closed.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the peer', failure: 'error code and message, if it was not closed gracefully' },
    action: NO_ACTION
  },
  'connection-silent': {
    number: 702,
    level: 'warning',
    sentence: 'Nothing was received on a connection within the timeout, and it was closed.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the peer' },
    action: 'If it recurs between two VMs, check the network between them.'
  },
  'peer-refused': {
    number: 703,
    level: 'warning',
    sentence: 'A handshake failed: the peer did not prove that it knows an accepted secret.',
    fields: { role: 'client or server', address: 'address of the peer', failure: 'error code and message' },
    action: 'Compare the peer secrets of both VMs; if the address does not belong to this deployment, find out whose it is.'
  },
  'protocol-violation': {
    number: 704,
    level: 'warning',
    sentence: 'A peer violated the inner protocol, and its connection was closed.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the peer, if authenticated', failure: 'error code and message' },
    action: 'If the peer belongs to this deployment, compare the releases of both VMs; otherwise block its access to the port.'
  },
  'call-refused': {
    number: 705,
    level: 'info',
    sentence: 'A call was rejected before its handler ran.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the caller', failure: 'error code and message' },
    action: 'If it recurs, the VM exceeds its limits: add VMs or raise the limits.'
  },
  'handler-failed': {
    number: 706,
    level: 'warning',
    sentence: 'The handler of a call failed; the caller received an error reply.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the caller', failure: 'error code and message' },
    action: 'If the error code is internal, report it.'
  },
  'late-reply': {
    number: 707,
    level: 'info',
    sentence: 'A reply was received after its call had ended, and was discarded.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM that replied', id: 'id of the call' },
    action: NO_ACTION
  },
  'accept-failed': {
    number: 708,
    level: 'warning',
    sentence: 'The operating system could not accept a connection.',
    fields: { role: 'server', address: 'address of this VM', failure: 'error code and message' },
    action: 'If the limit of open files was reached, raise it on this VM.'
  }
} as const satisfies CatalogueRows
