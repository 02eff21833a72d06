import {
  answerLength,
  answerPart,
  promptHash,
} from '../../shared/expected_answer.js';

/** Compares a streamed answer with the expected one of its prompt. */
export interface AnswerVerifier {
  add(text: string): void;
  /** Whether the text received so far is a prefix of the expected answer. */
  matches(): boolean;
  /** Whether exactly the expected answer was received. */
  complete(): boolean;
}

/** Creates the verifier for the answer to a prompt. */
export function createAnswerVerifier(
  prompt: string,
  maxTokens: number,
): AnswerVerifier {
  const hash = promptHash(prompt);
  const length = answerLength(hash, maxTokens);
  let sequence = 0;
  let buffered = '';
  let matching = true;

  return {
    add: text => {
      buffered += text;
      while (matching && buffered !== '') {
        const part = sequence < length ? answerPart(hash, sequence) : '';
        if (part === '' || !buffered.startsWith(part)) {
          matching = part !== '' && part.startsWith(buffered);
          return;
        }
        buffered = buffered.slice(part.length);
        sequence += 1;
      }
    },
    matches: () => matching,
    complete: () => matching && sequence === length && buffered === '',
  };
}
