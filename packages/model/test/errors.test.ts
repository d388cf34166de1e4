import { expect } from 'chai'
import { asFailure, CornelgaugeError, ERROR_KINDS, fromProblem, toProblem, type ErrorCode } from '../src/index.js'

describe('errors', () => {
  describe('problem details', () => {
    for (const code of Object.keys(ERROR_KINDS) as ErrorCode[]) {
      it(`round-trip ${code}`, () => {
        const failure = new CornelgaugeError(code, { detail: 'why', state: 'pending', members: { path: ['a'] } })
        const back = fromProblem(toProblem(failure))
        expect(back).to.deep.include({ code, status: failure.status, message: 'why', state: 'pending' })
        expect(back.members).to.deep.equal({ path: ['a'] })
      })
    }
  })

  describe('asFailure', () => {
    it('returns a CornelgaugeError unchanged and wraps anything else', () => {
      const typed = new CornelgaugeError('timeout')
      expect(asFailure(typed)).to.equal(typed)
      expect(asFailure('text').code).to.equal('internal')
    })
  })
})
