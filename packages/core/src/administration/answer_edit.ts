import type {EditAnswer} from './edit_answer.js';

/** Answers a client that submitted an edit. */
export interface AnswerEdit {
  kind: 'answer_edit';
  waiter: string;
  answer: EditAnswer;
}
