import type {EngineContext} from '../engine_context.js';
import type {EngineFaults} from '../engine_faults.js';
import type {ChatArrived} from '../events/chat_arrived.js';

/** Gives a stream the answer of another one, as the faults say. */
export interface AnswerCrossing {
  /** Returns the request whose answer the stream gets. */
  apply(ctx: EngineContext, request: ChatArrived): ChatArrived;
}

/** Creates the fault; the first stream always gets its own answer. */
export function createAnswerCrossing(faults: EngineFaults): AnswerCrossing {
  let previous: ChatArrived | undefined;

  function apply(ctx: EngineContext, request: ChatArrived): ChatArrived {
    const likely = faults.crossAnswers;
    if (!previous || likely === 0 || ctx.random() >= likely) {
      previous = request;
      return request;
    }
    const {reqId, promptHash} = previous;
    return {...request, reqId, promptHash};
  }

  return {apply};
}
