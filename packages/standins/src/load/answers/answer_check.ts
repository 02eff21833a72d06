import {
  answerLength,
  answerPart,
  promptHash,
} from '../../shared/expected_answer.js';

/** Compares a streamed answer with the one that its prompt yields. */
export interface AnswerCheck {
  add(text: string): void;
  /** Whether all that was received so far is right. */
  matches(): boolean;
  /** Whether the whole answer was received, and nothing else. */
  complete(): boolean;
}

/** Creates the check of a prompt's answer. */
export function createAnswerCheck(
  prompt: string,
  maxTokens: number,
): AnswerCheck {
  const hash = promptHash(prompt);
  const length = answerLength(hash, maxTokens);
  let sequence = 0;
  let rest = '';
  let right = true;

  return {
    add: text => {
      rest += text;
      while (right && rest !== '') {
        const part = sequence < length ? answerPart(hash, sequence) : '';
        if (part === '' || !rest.startsWith(part)) {
          right = part !== '' && part.startsWith(rest);
          return;
        }
        rest = rest.slice(part.length);
        sequence += 1;
      }
    },
    matches: () => right,
    complete: () => right && sequence === length && rest === '',
  };
}
