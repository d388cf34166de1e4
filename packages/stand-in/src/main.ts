/**
 * Runs one role of the platform's stand-ins as a process:
 * `node packages/stand-in/dist/src/main.js ROLE --flags`. It prints one JSON line
 * for each service that listens, and exits when its standard input closes.
 */
import { defineCommand, runMain } from 'citty'
import { runBackendServers, runObjectStore, runTableService, runVmList, type NamedAddress, type RunningStandIn } from './roles.js'

const ADDRESS = { type: 'string', required: true, valueHint: 'IP:PORT', description: 'Address to listen on' } as const
const ONE_WAY = { type: 'string', default: '0', valueHint: 'MILLISECONDS', description: 'One-way propagation delay, added to request and response' } as const

/** Prints the process lines, and exits when standard input closes, as it does when the parent process exits. */
function announce (running: readonly RunningStandIn[]): void {
  for (const { line } of running) process.stdout.write(`${JSON.stringify(line)}\n`)
  process.on('SIGINT', () => {})
  process.stdin.resume()
  process.stdin.on('end', () => process.exit(0))
}

/** Reads `NAME=IP:PORT,NAME=IP:PORT`. */
function parseServers (text: string): readonly NamedAddress[] {
  return text.split(',').map(part => {
    const [name = '', address = ''] = part.split('=')
    return { name, address }
  })
}

const tableService = defineCommand({
  meta: { name: 'table-service', description: 'Transactional rows' },
  args: { address: ADDRESS, 'one-way-milliseconds': ONE_WAY },
  run: async ({ args }) => announce([await runTableService(args.address, Number(args['one-way-milliseconds']))])
})

const objectStore = defineCommand({
  meta: { name: 'object-store', description: 'Objects by name' },
  args: { address: ADDRESS, 'one-way-milliseconds': ONE_WAY },
  run: async ({ args }) => announce([await runObjectStore(args.address, Number(args['one-way-milliseconds']))])
})

const vmList = defineCommand({
  meta: { name: 'vm-list', description: 'The list of VMs, with a lag' },
  args: {
    address: ADDRESS,
    'one-way-milliseconds': ONE_WAY,
    'lag-milliseconds': { type: 'string', default: '2000', valueHint: 'MILLISECONDS', description: 'Delay before a change is listed' }
  },
  run: async ({ args }) => announce([
    await runVmList(args.address, Number(args['one-way-milliseconds']), Number(args['lag-milliseconds']))
  ])
})

const backendServer = defineCommand({
  meta: { name: 'backend-server', description: 'One or several backend servers' },
  args: {
    servers: { type: 'string', required: true, valueHint: 'NAME=IP:PORT,...', description: 'Names and addresses of the backend servers' },
    slots: { type: 'string', default: '8', description: 'Slots per backend server' },
    accelerators: { type: 'string', default: '8', description: 'Accelerators per backend server' },
    'usage-lag-milliseconds': { type: 'string', default: '1000', valueHint: 'MILLISECONDS', description: 'Age of the reported usage' },
    'one-way-milliseconds': ONE_WAY
  },
  run: async ({ args }) => announce(await runBackendServers({
    servers: parseServers(args.servers),
    slots: Number(args.slots),
    accelerators: Number(args.accelerators),
    usageLagMilliseconds: Number(args['usage-lag-milliseconds']),
    oneWayMilliseconds: Number(args['one-way-milliseconds'])
  }))
})

await runMain(defineCommand({
  meta: { name: 'stand-in', description: 'Stands in for a service of the platform' },
  subCommands: {
    'table-service': tableService,
    'object-store': objectStore,
    'vm-list': vmList,
    'backend-server': backendServer
  }
}))
