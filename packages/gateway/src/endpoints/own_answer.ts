import type {ParsedAnswer} from './parsed_answer.js';

/**
 * Whether an answer is the one to the attempt that waits for it. One that names
 * the request is, since no connection carries two requests with one id. An
 * endpoint that could not read a request cannot name it, so a refusal without a
 * name counts where no other request was sent.
 */
export function isOwnAnswer(
  {verdict, identity}: ParsedAnswer,
  earlierRequests: number,
): boolean {
  if (identity !== 'unnamed') return identity === 'named';
  return verdict !== 'answer' && earlierRequests === 0;
}
