#!/usr/bin/env node
import '../dist/load/main.js';
