/** Events 106x: the evacuation of failure domains. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 106x: the evacuation of failure domains. */
export const EVACUATION_EVENTS = {
  'domain-evacuated': {
    number: 1060,
    level: 'info',
    sentence: 'The operators\' order to evacuate a failure domain is in force: the planner starts nothing there. Logged by each owner.',
    fields: { failureDomain: 'failure domain', servers: 'number of backend servers there; 0 if none is known there', runs: 'number of runs there', epoch: 'fencing epoch' },
    action: 'If servers is 0, compare the name in the order with the failure domains of the registry.'
  },
  'domain-in-service': {
    number: 1061,
    level: 'info',
    sentence: 'The order to evacuate a failure domain was withdrawn: the planner starts work there again.',
    fields: { failureDomain: 'failure domain', servers: 'number of backend servers there', runs: 'number of runs there', epoch: 'fencing epoch', milliseconds: 'how long this owner has followed the order' },
    action: NO_ACTION
  },
  'evacuations-unknown': {
    number: 1062,
    level: 'warning',
    sentence: 'The owner starts nothing, since it has not read the operators\' orders for long although the store answers it or its followers: it can\'t know which failure domains are evacuated.',
    fields: { milliseconds: 'milliseconds since it last read them' },
    action: 'If it recurs, check that the VM can reach the store.'
  }
} as const satisfies CatalogueRows
