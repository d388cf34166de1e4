import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { MAXIMUM_PLANNED_LOAD } from '@cornelgauge/jobs'
import { expect } from 'chai'

/** Less than the heap that an owner has on the users' platform, where the calls need the rest. */
const HEAP_MEGABYTES = 100
const PLAY = fileURLToPath(new URL('large-store-play.js', import.meta.url))
/** Time after which a play is considered hung, in milliseconds. */
const PLAY_TIMEOUT_MILLISECONDS = 120_000

// Guards against owners that end one after the other while they load what VMs have accepted meanwhile.
describe('a new owner of a store with more than its heap', () => {
  for (const [shape, known] of [['jobs with long descriptions', 4000], ['jobs of ordinary size', 60_000], ['jobs that have ended', 10_000], ['begun schedules', 5000]] as const) {
    it(`loads ${shape}`, function () {
      this.timeout(PLAY_TIMEOUT_MILLISECONDS)
      const { status, stdout, stderr } = spawnSync(process.execPath, [`--max-old-space-size=${HEAP_MEGABYTES}`, PLAY, shape], { encoding: 'utf8', timeout: PLAY_TIMEOUT_MILLISECONDS })
      expect(status, stderr.slice(-2000)).to.equal(0)
      const loaded = JSON.parse(stdout) as { known: number, planned: number }
      expect(loaded.known).to.equal(known)
      expect(loaded.planned).to.be.at.most(MAXIMUM_PLANNED_LOAD)
    })
  }
})
