import type {DecisionNode} from '@wisterialadder/core/types/decision_node.js';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import type {EventSource} from '@wisterialadder/runtime/loop/event_source.js';
import type {StandinRun} from './standin_run.js';

/** Components of a stand-in: node, event source, routes and executor. */
export interface StandinOptions<E, A> {
  run: StandinRun;
  address: string;
  node: DecisionNode<E, A>;
  source: EventSource<E>;
  tick: E;
  routes: HttpRoute[];
  seed: number;
  perform(action: A): void;
}
