import { expect } from 'chai'
import { FAULT_MODES, FaultSwitch, parseFaultSetting, VirtualClock, type FaultSetting } from '../src/index.js'
import { failureCode } from './contract/index.js'

describe('fault switch', () => {
  /** Sets the fault, makes one call, and returns its number of effects and its outcome after the wait. */
  const call = async (setting: FaultSetting, waitMilliseconds = 0): Promise<{ effects: number, code: string }> => {
    const clock = new VirtualClock()
    const faults = new FaultSwitch(clock)
    let effects = 0
    let code = 'no answer'
    faults.set(setting)
    failureCode(faults.apply('writes', () => { effects += 1 })).then(outcome => { code = outcome })
    await clock.advance(waitMilliseconds)
    return { effects, code }
  }

  const CASES: readonly { setting: FaultSetting, after: number, effects: number, code: string }[] = [
    { setting: { mode: 'none' }, after: 0, effects: 1, code: 'none' },
    { setting: { mode: 'down' }, after: 0, effects: 0, code: 'unavailable' },
    { setting: { mode: 'slow', delayMilliseconds: 50 }, after: 49, effects: 0, code: 'no answer' },
    { setting: { mode: 'slow', delayMilliseconds: 50 }, after: 50, effects: 1, code: 'none' },
    { setting: { mode: 'lose-answers' }, after: 0, effects: 1, code: 'unavailable' },
    { setting: { mode: 'silent' }, after: 60_000, effects: 0, code: 'no answer' },
    { setting: { mode: 'silent', openConnectionsOnly: true }, after: 0, effects: 1, code: 'none' },
    { setting: { mode: 'down', only: 'reads' }, after: 0, effects: 1, code: 'none' },
    { setting: { mode: 'down', only: 'writes' }, after: 0, effects: 0, code: 'unavailable' }
  ]

  for (const { setting, after, effects, code } of CASES) {
    it(`${JSON.stringify(setting)} gives ${code} after ${after} milliseconds`, async () => {
      expect(await call(setting, after)).to.deep.equal({ effects, code })
    })
  }

  it('returns to none after the given number of calls', async () => {
    const faults = new FaultSwitch(new VirtualClock())
    faults.set({ mode: 'down', calls: 2 })
    const codes = [1, 2, 3].map(() => failureCode(faults.apply('reads', () => 0)))
    expect(await Promise.all(codes)).to.deep.equal(['unavailable', 'unavailable', 'none'])
    expect(faults.mode).to.equal('none')
  })

  describe('parsing of settings', () => {
    for (const mode of FAULT_MODES) {
      it(`accepts ${mode}`, () => { expect(parseFaultSetting({ mode })).to.deep.equal({ mode }) })
    }

    for (const value of [null, 'down', {}, { mode: 'broken' }, { mode: 'slow', delayMilliseconds: '5' }, { mode: 'down', only: 'all' }, { mode: 'down', calls: -1 }]) {
      it(`rejects ${JSON.stringify(value)}`, () => { expect(() => parseFaultSetting(value)).to.throw('mode') })
    }
  })
})
