import type {DecisionNode} from '@wisterialadder/core/types/decision_node.js';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import type {EventSource} from '@wisterialadder/runtime/loop/event_source.js';
import type {StandinRun} from './standin_run.js';

/** What a stand-in is made of. */
export interface StandinParts<E, A> {
  run: StandinRun;
  address: string;
  node: DecisionNode<E, A>;
  source: EventSource<E>;
  tick: E;
  routes: HttpRoute[];
  seed: number;
  perform(action: A): void;
}
