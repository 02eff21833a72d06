import {randomUUID} from 'node:crypto';
import type {AnswerEdit} from '@wisterialadder/core/administration/answer_edit.js';
import type {EditAnswer} from '@wisterialadder/core/administration/edit_answer.js';
import type {EditSubmitted} from '@wisterialadder/core/administration/edit_submitted.js';

/** Hands edits to the event loop and their answers back. */
export interface EditGateway {
  submit(edit: Omit<EditSubmitted, 'kind' | 'waiter'>): Promise<EditAnswer>;
  /** Carries out the action of the core. */
  answer(action: AnswerEdit): void;
}

/** Creates a gateway without waiting submitters. */
export function createEditGateway(
  push: (event: EditSubmitted) => boolean,
): EditGateway {
  const waiting = new Map<string, (answer: EditAnswer) => void>();
  return {
    submit: edit =>
      new Promise(resolve => {
        const waiter = randomUUID();
        waiting.set(waiter, resolve);
        if (push({kind: 'edit_submitted', waiter, ...edit})) return;
        waiting.delete(waiter);
        resolve({kind: 'refused', reason: 'too_many_edits', faults: []});
      }),
    answer: ({waiter, answer}) => {
      waiting.get(waiter)?.(answer);
      waiting.delete(waiter);
    },
  };
}
