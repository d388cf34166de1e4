import { jobId, runNumber, serverId, type StartCommand, type TaskName } from '@cornelgauge/jobs'
import { expect } from 'chai'
import { START_RECORD_MILLISECONDS } from '../src/limits.js'
import { StartGate } from '../src/start-gate.js'

const start = (number: number): StartCommand => ({ type: 'start', server: serverId('server-0'), incarnation: 1, task: `a.0.0.${number}` as TaskName, run: runNumber(number), job: jobId('a'), change: number, specification: 'work', leaseUntil: 6000, checkpoint: '' })

describe('the gate of starts', () => {
  const [first, second] = [start(1), start(2)] as const
  let recorded: Set<StartCommand>
  let cancelled: Set<StartCommand>
  let unrecorded: StartCommand[]
  let gate: StartGate

  beforeEach(() => {
    recorded = new Set()
    cancelled = new Set()
    unrecorded = []
    gate = new StartGate({ isRecorded: command => recorded.has(command), isStartDue: command => !cancelled.has(command), noteUnrecordedStart: command => unrecorded.push(command) })
    gate.add(first, 1000)
    gate.add(second, 1000)
  })

  // Guards against starts of which the next owner can't know.
  it('holds a start until it is recorded', () => {
    expect(gate.release(1010, false)).to.deep.equal({ due: [], dropped: [] })
    recorded.add(second)
    expect(gate.release(1020, false)).to.deep.equal({ due: [second], dropped: [] })
    expect(gate.release(1030, false)).to.deep.equal({ due: [], dropped: [] })
  })

  it('holds it although starts need not be recorded, as long as the store may record it in time', () => {
    expect(gate.release(1000 + START_RECORD_MILLISECONDS - 1, true)).to.deep.equal({ due: [], dropped: [] })
    expect(unrecorded).to.deep.equal([])
  })

  it('drops a start whose run is not needed any more, recorded or not', () => {
    cancelled.add(first)
    cancelled.add(second)
    recorded.add(second)
    expect(gate.release(1010, false)).to.deep.equal({ due: [], dropped: [first, second] })
  })

  // Guards against an owner that starts nothing any more, since the store refuses the progress of one job.
  it('isn\'t late for a start that is not needed any more', () => {
    cancelled.add(first)
    cancelled.add(second)
    gate.release(1000 + START_RECORD_MILLISECONDS, false)
    expect(gate.isLate).to.equal(false)
  })

  it('gives all up when the owner stops', () => {
    expect(gate.clear()).to.deep.equal([first, second])
    recorded.add(first)
    expect(gate.release(1010, false)).to.deep.equal({ due: [], dropped: [] })
  })

  describe('when the store does not record starts in time', () => {
    it('drops them, and is late until something is recorded', () => {
      recorded.add(first)
      expect(gate.release(1000 + START_RECORD_MILLISECONDS, false)).to.deep.equal({ due: [first], dropped: [second] })
      expect(gate.isLate).to.equal(true)
      gate.noteStored()
      expect(gate.isLate).to.equal(false)
    })

    it('lets them pass if starts need not be recorded, and notes each', () => {
      expect(gate.release(1000 + START_RECORD_MILLISECONDS, true)).to.deep.equal({ due: [first, second], dropped: [] })
      expect(unrecorded).to.deep.equal([first, second])
      const third = start(3)
      gate.add(third, 3000)
      expect(gate.release(3000, true).due).to.deep.equal([third])
    })
  })
})
