import { expect } from 'chai'
import { Deployment, type SimulatedVm } from './deployment.js'
import { seededRandom } from './played-server.js'

const SEEDS = 60
const FAULTS = 25
const WEIGHTS = [8, 4, 4, 2, 1, 1]

type Fault = (vm: SimulatedVm, deployment: Deployment, milliseconds: number) => void

const FAULT_KINDS: readonly Fault[] = [
  (vm, deployment) => { deployment.restart(vm) },
  (vm, _deployment, milliseconds) => { vm.writeAnswerDelay = milliseconds / 2 },
  (vm, _deployment, milliseconds) => { vm.replyDelay = milliseconds / 6 },
  (vm, deployment, milliseconds) => { vm.mutedUntil = deployment.clock.now() + milliseconds },
  (vm, deployment, milliseconds) => { vm.stalledUntil = deployment.clock.now() + milliseconds }
]

// Guards against a VM that takes itself for the owner for good, and against others that believe it.
describe('VMs that restart, stand still and have late answers', function () {
  this.timeout(60_000)

  it('have one owner once that is over, and another one when it fails', async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const random = seededRandom(seed)
      const deployment = new Deployment(WEIGHTS)
      await deployment.start()
      await deployment.clock.advance(8000)
      for (let fault = 0; fault < FAULTS; fault += 1) {
        const vm = deployment.vms[Math.floor(WEIGHTS.length * random())]!
        FAULT_KINDS[Math.floor(FAULT_KINDS.length * random())]!(vm, deployment, 3000 * random())
        await deployment.clock.advance(Math.floor(1200 * random()))
      }
      for (const vm of deployment.vms) vm.writeAnswerDelay = vm.replyDelay = 0
      await deployment.clock.advance(20_000)
      const stored = deployment.store.rows('owner')[0]!.value
      expect(deployment.owners, `owners with seed ${seed}`).to.deep.equal([stored.vm])
      expect(new Set(deployment.vms.map(({ leadership }) => leadership.owner?.epoch)), `epochs with seed ${seed}`).to.deep.equal(new Set([stored.epoch]))
      const claims = deployment.claims.length
      deployment.vms.find(({ member }) => member.vm === stored.vm)!.isDown = true
      await deployment.clock.advance(6000)
      expect(deployment.claims.length, `claims after a failure with seed ${seed}`).to.be.above(claims)
      await deployment.stop()
    }
  })
})
