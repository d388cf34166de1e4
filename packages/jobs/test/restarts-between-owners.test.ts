import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import { jobId, Planner, type ListedRun, type PlannerEvent, type ServerEntry, type ServerId, type StoredJob } from '../src/index.js'
import { play, storedJob } from './crash-play.js'
import { CONFIGURATION, job, World, type FakeServer } from './world.js'

const TASK = 'a.0.0.0'
/** Upper limit of the time from the claim of a new owner until no lease of an earlier one is left. */
const LEASES_OVER_MILLISECONDS = 9200
/** A poll, a round and the start that follows. */
const NEXT_START_MILLISECONDS = 200
/** Less than a run without progress may take. */
const SOME_MILLISECONDS = 1500
/** Start time of the incarnation with the recorded run. */
const ROW = 10

/** Start times of the incarnations after that of the recorded run, in their order; the clock of the VM may be set back. */
const RESTARTS: readonly (readonly [title: string, incarnations: readonly number[]])[] = [
  ['once', [20]],
  ['twice', [20, 30]],
  ['once, after its clock was set back', [5]],
  ['twice, with its clock set back before the first', [5, 7]],
  ['twice, with its clock set back before the second', [20, 5]],
  ['twice, with the first start time again', [20, ROW]]
]

// Guards against conclusions from a row without an incarnation, on a backend server that has another one by the time of its first list.
describe('a backend server with a recorded run that restarts before the next owner polls it', () => {
  for (const [title, incarnations] of RESTARTS) {
    describe(title, () => {
      const last = incarnations.at(-1)!
      let world: World
      let holder: FakeServer
      let ids: ReadonlySet<ServerId>
      let stored: StoredJob
      let run: ListedRun
      let claimedAt: number
      let events: PlannerEvent[]

      const entries = (incarnation: number | undefined): readonly ServerEntry[] => world.entries.flatMap(entry => entry.id !== holder.entry.id ? [entry] : incarnation === undefined ? [] : [{ ...entry, incarnation }])
      const restart = (): void => {
        for (const incarnation of incarnations) {
          holder.restart()
          holder.incarnation = incarnation
        }
      }
      /** The next owner claims the planner, and reads this entry. */
      const takeOver = (incarnation: number | undefined): void => {
        world.planner = new Planner(epoch(2), [stored], { now: world.now, wallTime: world.wallTime })
        world.planner.inheritServers(ids, new Map(), true)
        world.planner.configure(CONFIGURATION)
        world.listServers([...entries(incarnation)])
        claimedAt = world.now
        events = []
      }
      /** An answer of the incarnation with the recorded run. */
      const answerOfEarlier = (sentAt: number): void => world.planner.applyReport(holder.entry.id, { incarnation: ROW, clock: 100_000 + sentAt, running: [run], ended: [], hasMoreEnds: false, sentAt, receivedAt: world.now }, world.wallTime)
      const playOn = (milliseconds: number): void => play(world, milliseconds, { afterStep: () => events.push(...world.planner.drainEvents()) })
      const expectOneStart = (): void => {
        expect(world.starts).to.have.length(2)
        playOn(SOME_MILLISECONDS)
        expect(world.starts).to.have.length(2)
        expect(world.servers.filter(({ running }) => running.has(TASK))).to.have.length(1)
      }
      const lostRuns = (): readonly PlannerEvent[] => events.filter(({ type }) => type === 'run-lost-with-server')

      beforeEach(() => {
        events = []
        world = new World(2)
        for (const server of world.servers) server.incarnation = ROW
        world.takeOver(1, [])
        world.planner.submit(job('a'))
        playOn(500)
        holder = world.serverRunning(TASK)!
        run = [...holder.running.values()][0]!
        ids = world.planner.serversToRecover(world.now)
        stored = storedJob(world, job('a'))
      })

      for (const [entry, incarnation] of [['the earlier', ROW], ['the present', last]] as const) {
        it(`starts the task again, once, as soon as it answers, while the registry shows ${entry} entry`, () => {
          restart()
          takeOver(incarnation)
          playOn(NEXT_START_MILLISECONDS)
          expectOneStart()
          expect(lostRuns()).to.have.length(0)
        })

        it(`starts the task again, once, after the leases if it doesn't answer, while the registry shows ${entry} entry`, () => {
          restart()
          holder.connectivity = 'silent'
          takeOver(incarnation)
          playOn(8900)
          expect(world.starts).to.have.length(1)
          playOn(claimedAt + LEASES_OVER_MILLISECONDS + NEXT_START_MILLISECONDS - world.now)
          expectOneStart()
        })
      }

      it('starts the task again, once, after the leases if the registry has no entry', () => {
        restart()
        takeOver(undefined)
        playOn(8900)
        expect(world.starts).to.have.length(1)
        playOn(claimedAt + LEASES_OVER_MILLISECONDS + NEXT_START_MILLISECONDS - world.now)
        expectOneStart()
      })

      it('counts the run as lost, once, if the earlier incarnation has answered before', () => {
        takeOver(ROW)
        const sentAt = world.now
        restart()
        world.now += 30
        answerOfEarlier(sentAt)
        world.round()
        expect(world.starts).to.have.length(1)
        playOn(NEXT_START_MILLISECONDS)
        expectOneStart()
        expect(lostRuns()).to.have.length(last === ROW ? 0 : 1)
        expect(world.planner.progressOf(jobId('a'))!.steps['0.0']!.crashes ?? {}).to.deep.equal(last === ROW ? {} : { 0: [[run.run, null]] })
      })

      it('runs the task once if the answer of the earlier incarnation is read after the entry of the present one', () => {
        takeOver(ROW)
        const sentAt = world.now
        restart()
        world.now += 30
        world.listServers([...entries(last)])
        answerOfEarlier(sentAt)
        playOn(NEXT_START_MILLISECONDS)
        expectOneStart()
        // An entry with an earlier start time shows no restart, so the answer counts.
        expect(lostRuns()).to.have.length(last < ROW ? 1 : 0)
      })

      it('runs the task once if the answer of the earlier incarnation is read after that of the present one', () => {
        takeOver(ROW)
        const sentAt = world.now
        restart()
        world.now += 10
        world.pollServers()
        world.round()
        world.now += 30
        answerOfEarlier(sentAt)
        playOn(NEXT_START_MILLISECONDS)
        expectOneStart()
        expect(lostRuns()).to.have.length(0)
      })
    })
  }
})
