import type {EndpointEntry} from '../../registry/endpoint_entry.js';
import type {VirtualTimeline} from '../virtual_timeline.js';
import {LoadEndpoint, failJob} from './load_endpoint.js';
import type {LoadJob} from './load_job.js';

/** A plain endpoint that serves as many calls at once as it has slots. */
export class LoadService extends LoadEndpoint {
  private readonly running = new Set<LoadJob>();
  private waiting: LoadJob[] = [];

  constructor(
    entry: EndpointEntry,
    private readonly timeline: VirtualTimeline,
  ) {
    super(entry);
  }

  override take(job: LoadJob): void {
    this.waiting.push(job);
    this.next();
  }

  /** A call that runs keeps its slot until it ends. */
  override drop(job: LoadJob): void {
    job.open = false;
    this.waiting = this.waiting.filter(waiting => waiting !== job);
  }

  override fail(): void {
    for (const job of [...this.running, ...this.waiting]) {
      failJob(job, 'disconnected');
    }
    this.running.clear();
    this.waiting = [];
  }

  private next(): void {
    if (this.running.size >= this.entry.slots) return;
    const job = this.waiting.shift();
    if (!job) return;
    this.running.add(job);
    this.timeline.after(job.req.serviceMs * this.slowdown, () => {
      this.running.delete(job);
      if (job.open) this.answer(job);
      this.next();
    });
  }

  private answer(job: LoadJob): void {
    job.open = false;
    const {reqId, attempt} = job.action;
    job.reply({kind: 'answer_received', reqId, attempt, status: 200});
  }
}
