/** Renders a request as text. */
import type { RequestState, RequestView } from '@cornelgauge/model'
import { renderLabelled, type Emphasis, type Labelled, type Style } from './terminal.js'

const STATE_SENTENCES: Readonly<Record<RequestState, string>> = {
  pending: 'Accepted and still pending: it waits to be started and has not ended.',
  running: 'Running: it has not ended.',
  finished: 'Finished.',
  failed: 'Failed.',
  cancelled: 'Cancelled.',
  'not-run': 'Not run, and it will not be run.',
  unknown: 'Whether it ran to its end cannot be known; it will not be started again.'
}

const STATE_EMPHASIS: Readonly<Record<RequestState, Emphasis>> = {
  pending: 'waiting',
  running: 'waiting',
  finished: 'good',
  failed: 'bad',
  cancelled: 'bad',
  'not-run': 'bad',
  unknown: 'bad'
}

/**
 * Returns a sentence that describes a state.
 *
 * @example
 * describeState('finished') // 'Finished.'
 */
export function describeState (state: RequestState): string {
  return STATE_SENTENCES[state]
}

function optional (label: string, value: string | undefined): readonly Labelled[] {
  return value === undefined ? [] : [[label, value]]
}

function answerOf (view: RequestView): string | undefined {
  return view.answer === undefined ? undefined : JSON.stringify(view.answer)
}

/** Renders the state of a request and everything that is known about it. */
export function renderRequest (view: RequestView, style: Style): readonly string[] {
  const reason = view.reason === undefined ? undefined : `${view.reason.detail} [${view.reason.code}]`
  return [
    style.emphasize(STATE_EMPHASIS[view.state], STATE_SENTENCES[view.state]),
    ...renderLabelled([
      ['state', view.state],
      ['workspace', view.workspace],
      ['key', view.key],
      ['kind', view.kind],
      ['cell', view.cell],
      ['accepted at', view.acceptedAt],
      ['deadline', view.deadline],
      ['attempts', String(view.attempts)],
      ...optional('ended at', view.endedAt),
      ...optional('as of', view.asOf),
      ...optional('reason', reason),
      ...optional('answer', answerOf(view))
    ], style)
  ]
}
