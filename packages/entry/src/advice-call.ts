/** Calls the advice service for a step. */
import { asFailure } from '@cornelgauge/model'
import type { Advice, AdviseCommand } from '@cornelgauge/jobs'
import type { EmitEvent } from '@cornelgauge/telemetry'
import type { PlatformView } from './platform-view.js'

/**
 * Requests advice; undefined if there was no answer, which is logged.
 *
 * @example
 * const advice = await callForAdvice(platform.advise, command, emit)
 */
export async function callForAdvice (advise: PlatformView['advise'], { step, servers }: AdviseCommand, emit: EmitEvent): Promise<Advice | undefined> {
  try {
    const advice = await advise?.(step, [...servers.keys()])
    emit('advice-taken', { details: { step, asked: servers.size, allowed: advice?.allowed.length } })
    return advice
  } catch (thrown) {
    emit('advice-failed', { details: { step, failure: asFailure(thrown).code } })
    return undefined
  }
}
