import { expect } from 'chai'
import { asFailure, CornelgaugeError, ERROR_KINDS, fromProblem, toProblem, type ErrorCode } from '../src/index.js'

describe('errors', () => {
  describe('problem details', () => {
    for (const code of Object.keys(ERROR_KINDS) as ErrorCode[]) {
      it(`carries ${code} there and back`, () => {
        const failure = new CornelgaugeError(code, { detail: 'why', state: 'pending', members: { path: ['a'] } })
        const back = fromProblem(toProblem(failure))
        expect(back).to.deep.include({ code, status: failure.status, message: 'why', state: 'pending' })
        expect(back.members).to.deep.equal({ path: ['a'] })
      })
    }
  })

  describe('asFailure', () => {
    it('keeps a typed failure and types any other', () => {
      const typed = new CornelgaugeError('timeout')
      expect(asFailure(typed)).to.equal(typed)
      expect(asFailure('text').code).to.equal('internal')
    })
  })
})
