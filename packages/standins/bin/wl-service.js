#!/usr/bin/env node
import '../dist/service/main.js';
