"""Choice of a backend server for each request, from load and cache data that this entry keeps."""
