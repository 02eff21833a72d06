import type {EngineContext} from '../engine_context.js';
import type {EngineFaults} from '../engine_faults.js';
import type {ChatArrived} from '../events/chat_arrived.js';

/** Injected fault that gives a stream the answer of an earlier one. */
export interface CrossAnswersFault {
  /** Returns the request whose answer the stream gets. */
  apply(ctx: EngineContext, request: ChatArrived): ChatArrived;
}

/** Creates the fault; the first stream always gets its own answer. */
export function createCrossAnswersFault(
  faults: EngineFaults,
): CrossAnswersFault {
  let previous: ChatArrived | undefined;

  function apply(ctx: EngineContext, request: ChatArrived): ChatArrived {
    const probability = faults.crossAnswers;
    if (!previous || probability === 0 || ctx.random() >= probability) {
      previous = request;
      return request;
    }
    const {reqId, promptHash} = previous;
    return {...request, reqId, promptHash};
  }

  return {apply};
}
