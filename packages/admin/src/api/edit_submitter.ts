import {randomUUID} from 'node:crypto';
import type {AnswerEdit} from '@wisterialadder/core/administration/answer_edit.js';
import type {EditAnswer} from '@wisterialadder/core/administration/edit_answer.js';
import type {EditSubmitted} from '@wisterialadder/core/administration/edit_submitted.js';

/** Passes edits to the event loop and returns the answers. */
export interface EditSubmitter {
  /** Resolves to `too_many_edits` if the queue of events is full. */
  submit(edit: Omit<EditSubmitted, 'kind' | 'waiter'>): Promise<EditAnswer>;
  /** Resolves the pending `submit` that the action answers. */
  settle(action: AnswerEdit): void;
}

/** Creates a submitter; `push` queues an event, false if the queue is full. */
export function createEditSubmitter(
  push: (event: EditSubmitted) => boolean,
): EditSubmitter {
  const pending = new Map<string, (answer: EditAnswer) => void>();
  return {
    submit: edit =>
      new Promise(resolve => {
        const waiter = randomUUID();
        pending.set(waiter, resolve);
        if (push({kind: 'edit_submitted', waiter, ...edit})) return;
        pending.delete(waiter);
        resolve({kind: 'refused', reason: 'too_many_edits', faults: []});
      }),
    settle: ({waiter, answer}) => {
      pending.get(waiter)?.(answer);
      pending.delete(waiter);
    },
  };
}
