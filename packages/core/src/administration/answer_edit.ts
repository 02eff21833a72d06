import type {EditAnswer} from './edit_answer.js';

/** Answers whoever submitted an edit. */
export interface AnswerEdit {
  kind: 'answer_edit';
  waiter: string;
  answer: EditAnswer;
}
