/** Events 7xx: the inner protocol. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 7xx: the inner protocol. */
export const WIRE_EVENTS = {
  'connection-opened': {
    number: 700,
    level: 'info',
    sentence: 'A connection to or from a peer is authenticated.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the peer' },
    action: NO_ACTION
  },
  'connection-closed': {
    number: 701,
    level: 'info',
    sentence: 'A connection has ended.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the peer', failure: 'code and sentence, if it did not end in order' },
    action: NO_ACTION
  },
  'connection-silent': {
    number: 702,
    level: 'warning',
    sentence: 'Nothing came on a connection for too long and it was given up.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the peer' },
    action: 'If it recurs between two VMs, check what stands between them.'
  },
  'peer-refused': {
    number: 703,
    level: 'warning',
    sentence: 'A handshake failed: the other end proved no accepted secret.',
    fields: { role: 'client or server', address: 'address of the peer', failure: 'code and sentence' },
    action: 'Compare the peer secrets of both VMs; if the address is not one of ours, find out whose it is.'
  },
  'protocol-violation': {
    number: 704,
    level: 'warning',
    sentence: 'A peer broke the inner protocol and its connection was closed.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the peer, if authenticated', failure: 'code and sentence' },
    action: 'If the peer is one of ours, compare releases; otherwise close the port to it.'
  },
  'call-refused': {
    number: 705,
    level: 'info',
    sentence: 'A call was refused before its handler ran.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the caller', failure: 'code and sentence' },
    action: 'If it recurs, the VM is over its limits: add VMs or raise them.'
  },
  'handler-failed': {
    number: 706,
    level: 'warning',
    sentence: 'The handler of a call failed; the caller got a problem reply.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM of the caller', failure: 'code and sentence' },
    action: 'If the code is internal, report it.'
  },
  'late-reply': {
    number: 707,
    level: 'info',
    sentence: 'A reply came after its call had ended, and was dropped.',
    fields: { role: 'client or server', address: 'address of the peer', peer: 'VM that replied', id: 'id of the call' },
    action: NO_ACTION
  },
  'accept-failed': {
    number: 708,
    level: 'warning',
    sentence: 'The system refused to accept a connection.',
    fields: { role: 'server', address: 'address of this VM', failure: 'code and sentence' },
    action: 'If the reason is the number of open files, raise its limit on this VM.'
  }
} as const satisfies CatalogueRows
