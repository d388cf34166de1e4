import { expect } from 'chai'
import { DEFAULT_LIMITS } from '../src/index.js'
import { checkLiveness, recordReceived, startLiveness, type LivenessState } from '../src/liveness.js'

const check = (state: LivenessState, now: number) => checkLiveness(state, now, DEFAULT_LIMITS)

describe('liveness', () => {
  const start = startLiveness(0, DEFAULT_LIMITS)

  it('waits while bytes are received', () => {
    const { state, action } = check(recordReceived(start, 900, DEFAULT_LIMITS), 1000)
    expect({ action, due: state.checkDueAt }).to.deep.equal({ action: 'wait', due: 1900 })
  })

  it('pings after a second of silence, and destroys the connection two seconds after the ping', () => {
    const pinged = check(start, 1000)
    expect(pinged.action).to.equal('ping')
    expect(check(pinged.state, 2999).action).to.equal('wait')
    expect(check(pinged.state, 3000).action).to.equal('destroy')
  })

  it('keeps the connection if bytes are received after the ping', () => {
    const pinged = check(start, 1000)
    const answered = recordReceived(pinged.state, 2000, DEFAULT_LIMITS)
    expect(answered.checkDueAt).to.equal(3000)
    expect(check(answered, 3000).action).to.equal('ping')
  })

  it('pings again before it destroys the connection if this process was paused', () => {
    const pinged = check(start, 1000)
    const resumed = check(pinged.state, 60_000)
    expect(resumed.action).to.equal('ping')
    expect(check(resumed.state, 62_000).action).to.equal('destroy')
  })
})
